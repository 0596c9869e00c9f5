Feature: Responses to callers

  Scenario: A booking is repeated after its response arrived
    When a booking is sent with key "k1"
    And a booking is sent with key "k1"
    Then response 1 has status 200
    And response 2 has status 200
    And 1 booking ran

  Scenario: The response to a booking is lost
    Given the endpoint's next response is lost
    When a booking is sent with key "k1"
    And a booking is sent with key "k1"
    Then response 1 is the error "answer_timeout" with outcome "may_have_run" and retry "with_same_key"
    And response 2 is the error "outcome_unknown" with outcome "may_have_run" and retry "with_same_key"
    And 1 booking ran

  Scenario: The endpoints refuse a booking
    Given the endpoints refuse the next 3 attempts
    When a booking is sent with key "k1"
    And a booking is sent with key "k1"
    Then response 1 is the error "endpoint_refused" with outcome "not_run" and retry "later"
    And response 2 has status 200
    And 1 booking ran

  Scenario: A key is reused for another booking
    When a booking is sent with key "k1"
    And another booking is sent with key "k1"
    Then response 2 is the error "key_reused" with outcome "not_run" and retry "after_change"
    And 1 booking ran

  Scenario: The table service is down
    Given the table service is down
    When a booking is sent with key "k1"
    And a booking is sent without a key
    Then response 1 is the error "table_unavailable" with outcome "not_run" and retry "later"
    And response 2 has status 200
    And 1 booking ran

  Scenario: The instance was frozen
    Given the instance was frozen
    When a booking is sent without a key
    Then response 1 is the error "not_ready" with outcome "not_run" and retry "later"
    And 0 bookings ran
