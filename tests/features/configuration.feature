Feature: Changing the fleet's configuration
  An operator gets the outcome of a change, and the reason for a failure.

  Background:
    Given a fleet of 4 instances
    And "nora" has set "max_attempts" to "2" as version 1

  Scenario: A conflict reports the change that was accepted
    When "omar" sets "retry_ratio" to "0.2" based on version 0
    Then the change fails with "conflict"
    And the message contains "version 1 by nora"
    And the message contains "default max_attempts set to 2"
    And version 1 is in force on all instances

  Scenario: A change is refused while the table service is down
    Given the table service is down
    When "omar" sets "retry_ratio" to "0.2" based on version 1
    Then the change fails with "table_unavailable"
    And the message contains "nothing was changed"
    And version 1 is in force on all instances

  Scenario: The response of the table service is lost
    Given the next response of the table service is lost
    When "omar" sets "retry_ratio" to "0.2" based on version 1
    Then the change is accepted as version 2
    And version 2 is in force on all instances

  Scenario: The outcome of a change remains unknown
    Given every response of the table service is lost
    When "omar" sets "retry_ratio" to "0.2" based on version 1
    Then the change fails with "table_outcome_unknown"
    And the message contains "send it again with the same id"

  Scenario: An invalid value is reported with the expected type
    When "omar" sets "retry_ratio" to "20 s" based on version 1
    Then the change fails with "bad_request"
    And the message contains "[defaults] retry_ratio"
    And the message contains "a number"
    And version 1 is in force on all instances
