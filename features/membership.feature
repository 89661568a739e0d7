Feature: Endpoints come and go while the host list lags

  Background:
    Given an entry that holds leases with "a", "b" and "c" of one pool

  Scenario: A leaving sidecar gets no new work although its notice was lost
    When "a" leaves and its first 3 notices are lost
    Then "a" gets no new work after 1 second
    And "a" may stop once its calls have ended

  Scenario: A refusal by a draining sidecar counts as its notice
    When "b" refuses a call because it is draining
    Then new work goes to "a" and "c"

  Scenario: A late heartbeat does not bring back a sidecar that left
    When "a" leaves and its first 0 notices are lost
    And an older heartbeat of "a" arrives late
    Then new work goes to "b" and "c"

  Scenario: A host that the lagging list does not name stays in service
    When the host list names only "b" and "c"
    Then new work goes to "a", "b" and "c"

  Scenario: An entry that was paused trusts nobody until it hears from them
    When the entry is paused for 5 seconds
    Then nobody gets new work
    When "c" is heard from again
    Then new work goes to "c"

  Scenario: A replaced sidecar wins over its predecessor
    When "a" is replaced by a new incarnation
    And a heartbeat of the former "a" arrives late
    Then the entry holds the new incarnation of "a"
