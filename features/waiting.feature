@fleet
Feature: Requests that may wait arrive in the end

  Background:
    Given a fleet with 2 entries and 2 endpoints in each pool

  Scenario: A draft is accepted and collected through another entry
    When a draft that may wait is sent to entry 0
    Then it is accepted
    And its answer is collected through entry 1

  Scenario: The entry that owns a draft dies
    Given the engines are slow
    When a draft that may wait is sent to entry 0
    And entry 0 dies
    Then its answer is collected through entry 1

  Scenario: The entry that owns a draft stops as planned
    Given the engines are slow
    When a draft that may wait is sent to entry 0
    And entry 0 stops as planned
    Then its answer is collected through entry 1

  Scenario: Every engine is out for a while
    Given the sidecars of pool "model" are cut off
    When a draft that may wait is sent to entry 0
    And the sidecars of pool "model" are reached again
    Then its answer is collected through entry 0

  Scenario: The entry that holds a finished draft dies
    When a draft that may wait is sent to entry 0
    Then its answer is collected through entry 0
    When entry 0 dies
    Then its answer is collected through entry 1
    And the engines have run it once
