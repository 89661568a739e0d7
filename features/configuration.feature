@fleet
Feature: A patch takes hold everywhere or is refused, and never reverts

  Background:
    Given a fleet with 2 entries and 1 endpoints in each pool
    And a list of the processes for operators

  Scenario: An accepted patch is in force in every process
    When the patch {"teams": {"brides": {"share": 3}}} is submitted
    Then the command prints "number 2 by ana: accepted as version 2"
    And waiting for version 2 ends with status 0 and "version 2: 2 of 2"

  Scenario: A patch that removes a pool in use is refused with the path
    When the patch {"pools": {"encoders": null}} is submitted
    Then the command prints "$.pipelines.day-plan.stages[0].pool"
    And the command prints "not published"
    And the status is not 0 and the history has 1 entries

  Scenario: A patch that names an unknown routing policy is refused
    When the patch {"pools": {"encoders": {"routing": "defalt"}}} is submitted
    Then the command prints "$.pools.encoders.routing: no policy"
    And the command prints "not published"

  Scenario: Two operators change the same value
    When the patch {"teams": {"brides": {"share": 3}}} is submitted
    And the patch {"teams": {"brides": {"share": 5}}} against version 1 is checked
    Then the command prints "refused (conflict), version 2 stays: $.teams.brides.share"

  Scenario: Two operators publish at the same time
    Given another operator publishes {"teams": {"brides": {"share": 9}}} just before
    When the patch {"teams": {"brides": {"share": 3}}} is submitted
    Then the command prints "number 2: another patch was first"
    And every process holds version 2
    And the history shows "number 2 by bor: accepted as version 2"

  Scenario: A diff shows old and new values
    When the diff of {"teams": {"brides": {"share": 3}}} is shown
    Then the command prints "$.teams.brides.share: null -> 3"

  Scenario: The service is rewound, and an entry starts with nothing
    When the patch {"teams": {"brides": {"share": 3}}} is submitted
    And waiting for version 2 has ended
    And the service is rewound to its base
    Then a new entry becomes ready with version 2
    And every process holds version 2

  Scenario: The service goes stale
    When the service shows nothing new
    And the patch {"teams": {"brides": {"share": 3}}} is submitted
    Then the command prints "number 2: published, not yet visible"

  Scenario: The service is down
    When the patch {"teams": {"brides": {"share": 3}}} is submitted
    And waiting for version 2 has ended
    And the service goes down
    And the patch {"teams": {"brides": {"share": 4}}} is submitted
    Then the status is not 0 and one line is on the error stream
    And a new entry becomes ready with version 2

  Scenario: A process lags
    Given a listed process that does not answer
    When version 1 is waited for during 1 second
    Then the command prints "version 1: 2 of 3"
    And the command prints "gone: "

  Scenario Outline: A wrong command is one line and status 2
    When the command "<arguments>" is run
    Then the status is 2 and one line is on the error stream

    Examples:
      | arguments                |
      | wait one                 |
      | wait 1 --tiemout_s 3     |
      | check /no/such/file      |
      | publish                  |
