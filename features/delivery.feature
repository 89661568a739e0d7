@fleet
Feature: Each caller gets the whole answer to its own request, once

  Background:
    Given a fleet with 2 entries and 2 endpoints in each pool

  Scenario: An endpoint dies while a day plan is generated
    When a bride asks for a day plan
    And endpoint "model-0" dies while it generates
    And endpoint "model-1" dies only after the answers
    Then every day plan is whole and answers its own brief

  Scenario: A deposit is sent again through another entry
    Given a token for a deposit
    When the deposit is sent with its token through entry 0
    And the deposit is sent with its token through entry 1
    Then both answers are the same
    And the deposit ran once

  @known_red
  Scenario: A deposit is sent again after its sidecar was replaced
    Given a token for a deposit
    When the deposit is sent with its token through entry 0
    And the sidecars of pool "bookings" are replaced
    And the deposit is sent with its token through entry 1
    Then the second answer is "Unknown" with reason "incarnation_lost"
    And the deposit ran once

  Scenario: The connection to a sidecar falls silent during a deposit
    Given the services are slow
    And a token for a deposit
    When the deposit is sent through entry 0 while its connection falls silent
    Then the answer is "Complete"
    And the deposit ran once

  Scenario: The connection breaks after a deposit was sent
    Given the services are slow
    And a token for a deposit
    When the deposit is sent through entry 0 while its connection breaks
    Then the answer is "Complete"
    And the deposit ran once

  Scenario: A service dies while it takes a deposit
    Given the services are slow
    When a deposit is sent while every service dies
    Then the answer is "Unknown" with reason "endpoint_error"
    And no deposit ran twice

  Scenario: A deposit without an endpoint is not run
    Given the sidecars of pool "bookings" are cut off
    When a deposit is sent
    Then the answer is "NotRun"
    And no deposit ran

  Scenario: A token belongs to one body
    Given a token for a deposit
    When another deposit is sent with that token
    Then the status is 400
    And no deposit ran

  Scenario: A sidecar stops as planned under load
    When 60 day plans are sent while the sidecar "model-0" stops
    Then every request is complete

  Scenario: An entry stops as planned under load
    When 40 day plans are sent to entry 0 while it stops
    Then every request is complete

  Scenario: A streamed answer is cut off and begins anew
    When a day plan is streamed while its endpoint dies
    Then the stream ends with the outcome "Complete"
    And the text after the last restart is the whole answer

  Scenario: A running process without the service
    Given the configuration service is down
    When a sidecar for pool "encoders" is added
    Then it takes part under the version of its peers

  Scenario: A deposit that ran is never called not run when it is sent again
    Given a token for a deposit
    When the deposit is sent with its token through entry 0
    And the sidecars of pool "bookings" become unreachable
    And the deposit is sent with its token through entry 1
    Then the answer is "Unknown"
    And the deposit ran once

  Scenario: A deposit goes to another endpoint if one has died unnoticed
    Given one service has died
    When 6 deposits are sent
    Then every request is complete
    And no deposit ran twice
