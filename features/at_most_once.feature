Feature: A request that may not be repeated runs at most once

  Scenario: A deposit that is sent again through another entry runs once
    Given a bookings sidecar that issued a token for a deposit
    When the deposit's token reaches the sidecar twice
    Then the deposit has run 1 time
    And both sends get the same receipt

  Scenario: A deposit whose sidecar was replaced is never run again
    Given a bookings sidecar that issued a token for a deposit
    When the deposit's token reaches the sidecar
    And the bookings sidecar is replaced
    And the deposit's token reaches the sidecar
    Then the deposit has run 1 time
    And the last answer is unknown because "incarnation_lost"

  Scenario: A deposit that waited while its sidecar was paused is not run
    Given a bookings sidecar that issued a token for a deposit
    When the bookings sidecar wakes from a pause
    And the deposit's token reaches the sidecar
    Then the deposit has run 0 times
    And the last answer is not run because "expired_token"

  Scenario: A full ledger refuses new deposits and forgets no old one
    Given a bookings sidecar that issued a token for a deposit
    When the deposit's token reaches the sidecar
    And deposits are sent until the ledger is full
    Then the last answer is not run because "ledger_full"
    When the deposit's token reaches the sidecar
    Then the deposit has run 1 time
    And the last answer is the receipt

  Scenario: A deposit with only a key is not run again by a restarted home
    Given a deposit with an idempotency key that ran at the key's home
    When the key's home is replaced
    And the deposit is sent again with its key after 90 seconds
    Then the deposit has run 1 time
    And the last answer is unknown because "incarnation_lost"

  Scenario: Entries with old and new slots agree on the home of a key
    Given key slots that change at noon
    Then a key made before noon has the same home in both versions
    And a key made after noon has no home in the old version

  Scenario: A draft whose stream was cut is never taken for whole
    Given a draft that arrives in 5 pieces, the last ones first
    Then the draft is whole and in order
    Given a draft whose stream was cut after 3 of 5 pieces
    Then the draft is not whole

  Scenario: The answer of another request is dropped
    Given an entry that waits for the answers of two briefs
    When the answer of the first arrives with the content of the second
    Then the answer is dropped and both still wait

  Scenario: A day plan that may wait survives the death of its entry
    Given a day plan held by an entry with a standby in another zone
    When its entry is silent for 3 seconds
    Then the standby goes on with the day plan
    And the silent entry may not finish the day plan when it wakes
