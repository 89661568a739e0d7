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
