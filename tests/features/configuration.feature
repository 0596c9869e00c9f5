Feature: Changing the fleet's configuration
  Operators read exactly what became of a change, and why.

  Background:
    Given a fleet of 4 instances
    And "nora" has set "max_attempts" to "2" as version 1

  Scenario: The loser of a race sees the other change
    When "omar" sets "retry_ratio" to "0.2" based on version 0
    Then the change fails with "conflict"
    And the message names "version 1 by nora"
    And the message names "default max_attempts set to 2"
    And version 1 is in force everywhere

  Scenario: A change is refused while the table service is down
    Given the table service is down
    When "omar" sets "retry_ratio" to "0.2" based on version 1
    Then the change fails with "table_unavailable"
    And the message names "nothing was changed"
    And version 1 is in force everywhere

  Scenario: The answer of the table service is lost
    Given the table service loses its next answer
    When "omar" sets "retry_ratio" to "0.2" based on version 1
    Then the change is accepted as version 2
    And version 2 is in force everywhere

  Scenario: It stays unknown whether a change was accepted
    Given the table service loses every answer
    When "omar" sets "retry_ratio" to "0.2" based on version 1
    Then the change fails with "table_outcome_unknown"
    And the message names "send it again with the same id"

  Scenario: A mistake is named with what was expected
    When "omar" sets "retry_ratio" to "20 s" based on version 1
    Then the change fails with "bad_request"
    And the message names "[defaults] retry_ratio"
    And the message names "a number"
    And version 1 is in force everywhere
