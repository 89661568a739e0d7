@fleet
Feature: Failures beyond one request

  Background:
    Given a fleet with 2 entries and 3 endpoints in each pool

  Scenario: A request that crashes its endpoints is refused everywhere
    Given a request whose content crashes a model endpoint
    When it is sent 6 times through alternating entries
    Then at most 2 endpoints of pool "model" died
    And the last answer is refused as "quarantined"
    And another day plan is complete

  Scenario: A deposit that crashes its endpoints is refused everywhere
    Given a deposit whose content crashes a bookings endpoint
    When the deposit is sent 6 times through alternating entries
    Then at most 2 endpoints of pool "bookings" died
    And the last answer is refused as "quarantined"
    And another day plan is complete

  Scenario: A patch is in force everywhere within seconds, under load
    When a patch is published while 30 day plans are sent
    Then every process holds version 2 within 6 seconds
    And every request is complete

  Scenario: The configuration service comes back with another history
    Given a patch is in force everywhere
    When the configuration service is replaced by one with other patches
    Then every process still holds version 2 after 5 seconds
    And a process reports the fork
    And another day plan is complete

  Scenario: An invalid patch is refused everywhere
    When a patch that removes a pool in use is published
    Then every process refuses it within 6 seconds and holds version 1

  Scenario: Half of the sidecars are cut off and reached again
    Given the first sidecar of each pool is cut off
    When 20 day plans are sent
    Then every request is complete
    And the cut sidecars get work again after they are reached

  Scenario: A stage without any endpoint wastes no work of the others
    Given every endpoint of pool "model" has died and was noticed
    When 20 day plans are sent
    Then every request is refused as not run
    And the encoders have run nothing
