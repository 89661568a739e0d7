Feature: Settings are checked before anything runs

  Scenario: A misspelt key is refused with the nearest known name
    Given a settings file with the key "zome" instead of "zone"
    When it is checked
    Then the error names "$.zome" and proposes "zone"
