Feature: Requests are on time, fair and paid for under load

  Scenario: Clachan's burst of hearings is refused before anything is spent
    Given a drafting pool of 10 slots with a deadline of 8 seconds
    When 100 hearings of 2 seconds each arrive at once
    Then at most 40 hearings are admitted
    And every other hearing is not run, with a time to come back

  Scenario: An order-status query is answered during the burst
    Given a drafting pool of 10 slots with a deadline of 8 seconds
    And hearings of 2 seconds arrive at 6 times the pool's capacity for 10 seconds
    When an order-status query of 0.2 seconds arrives
    Then the query is admitted

  Scenario: A draft that may wait is accepted instead of refused
    Given a drafting pool of 10 slots with a deadline of 8 seconds
    When 100 hearings of 2 seconds each arrive at once
    And a hearing that may wait arrives
    Then the hearing is accepted to wait

  Scenario: A draft that has become late is answered at once
    Given a drafting pool of 10 slots with a deadline of 8 seconds
    When a hearing is admitted and its first stage takes 7 seconds
    Then the hearing is given up at once, with a time to come back

  Scenario: Nevesta's rush of one team leaves the others their share
    Given a sidecar of the lookup pool that holds 200 calls of one team
    When another team sends 3 lookups
    Then the 3 lookups are the next to start

  Scenario: A day plan that may wait is not starved by lookups
    Given a sidecar of the lookup pool that holds 200 calls of one team
    And a day plan that may wait has been queued for 5 seconds
    When 9 calls are started
    Then the day plan is among them

  Scenario: A lookup that can no longer be on time is not started
    Given a sidecar of the lookup pool with a lookup due in 1 second
    When the next call is started after 2 seconds
    Then the lookup was not run
    And nothing is started

  Scenario: Nevesta's credits last to their date and are used by then
    Given credits of 1000 that expire in 30 days
    When more is asked of the provider every hour than it can pay for
    Then nothing is refused for want of credits before the last day
    And at most 2 percent of the credits are unused at the end

  Scenario: The caller sees what each stage has cost
    Given a request whose generation was tried twice
    Then its costs name each stage once, with both attempts
