@store @known_red
Feature: The store comes back from an older copy

  Background:
    Given three gateways over a store

  Scenario: No older configuration answers, and the next change is in force
    Given route "new0" is published
    And route "new1" is published
    When the store comes back from the copy before the last change
    Then every gateway goes on serving route "new1"
    When route "new2" is published
    Then every gateway serves route "new2" within 2 seconds

  Scenario: Endpoints that the copy lacks serve on, and those that left do not
    Given all endpoints of the plain service are replaced
    When the store comes back from the copy before the last change
    Then every gateway goes on serving route "again"
    And no call reaches an endpoint that has left
