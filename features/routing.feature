Feature: Each attempt goes to a good endpoint, and retries stay bounded

  Scenario: A draft goes to the runner that has cached its hearing
    Given a drafting pool of 10 runners
    And runner 7 was sent the same hearing before
    When a draft of the hearing is routed 20 times
    Then every draft goes to runner 7

  Scenario: A draft leaves a runner that is overloaded
    Given a drafting pool of 10 runners
    And runner 7 was sent the same hearing before
    And runner 7 has 60 calls in flight
    When a draft of the hearing is routed 20 times
    Then no draft goes to runner 7

  Scenario: A runner that fails is taken out and comes back
    Given a drafting pool of 10 runners
    When runner 3 fails while the others work
    Then runner 3 is ejected
    And runner 3 gets work again after 4 seconds

  Scenario: A failure of the whole pool ejects a few runners at most
    Given a drafting pool of 10 runners
    When all runners fail
    Then at most 3 runners are ejected

  Scenario: Lookups are hardly retried while all roster services fail
    Given a retry budget that earned nothing lately
    When 200 lookups fail
    Then at most 1 lookup is retried
    And every other caller is told when to come back

  Scenario: A deposit whose connection broke is never sent again
    When a deposit ends as unknown
    Then the deposit is given up as unknown

  Scenario: A deposit that a leaving sidecar refused goes elsewhere at once
    When a deposit is refused by a leaving sidecar
    Then the deposit is tried again at once

  Scenario: A silent connection is retired and the endpoint stays in use
    Given a connection to the order desk that falls silent with a call open
    When 2 seconds pass
    Then the connection is retired
    And the order desk is not judged as failing
    And new work opens a new connection
