@fleet
Feature: Engines are brought to the state that the configuration names

  Scenario Outline: A new version rolls through a pool that goes on answering
    Given a fleet with 3 engines whose fencing is "<fencing>"
    And every engine holds version "1"
    When version "2" is published while requests go on
    Then every engine holds version "2"
    And at most 1 engine was out of service at a time
    And every request was answered in full
    And no completion was cut off by an order

    Examples:
      | fencing |
      | checked |
      | ignored |

  Scenario Outline: A version is published before the last load was answered
    Given a fleet with 3 engines whose fencing is "<fencing>"
    And engines that load for 1 second and answer 1 second later
    And every engine has loaded version "1"
    When version "2" is published and no requests are sent
    Then every engine holds version "2"
    And at most 1 engine was out of service at a time

    Examples:
      | fencing |
      | checked |
      | ignored |

  Scenario Outline: A sidecar is replaced while a version rolls
    Given a fleet with 3 engines whose fencing is "<fencing>"
    And every engine holds version "1"
    When version "2" is published and sidecar "model-1" is replaced
    And version "3" is published
    Then every engine holds version "3"

    Examples:
      | fencing |
      | checked |
      | ignored |

  Scenario: An engine that checks numbers refuses a late order
    Given a fleet with 2 engines whose fencing is "checked"
    And every engine holds version "1"
    When a late order for version "0" reaches engine "model-0"
    Then engine "model-0" was never given version "0"

  Scenario: An engine that ignores numbers is corrected after a late order
    Given a fleet with 2 engines whose fencing is "ignored"
    And every engine holds version "1"
    When a late order for version "0" reaches engine "model-0"
    Then engine "model-0" is given version "1" again
