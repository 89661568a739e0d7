Feature: A request that crashes what runs it is stopped after two endpoints

  Background:
    Given three entries that share their suspicions

  Scenario: A crashing draft is refused at every entry
    When endpoint "g1" dies with a crashing draft and a harmless draft
    Then both drafts run alone from now on
    When endpoint "g2" dies with the crashing draft alone
    Then every entry refuses the crashing draft as "quarantined"

  Scenario: A harmless neighbour is cleared
    When endpoint "g1" dies with a crashing draft and a harmless draft
    And the harmless draft completes
    Then every entry runs the harmless draft freely

  Scenario: A refusal ends with its lease
    When endpoint "g1" dies with a crashing draft and a harmless draft
    And endpoint "g2" dies with the crashing draft alone
    And 10 minutes pass
    Then every entry runs the crashing draft freely
