Feature: The connections of a target are cared for by its home

  Scenario: an instance that was a home for a while gives them up
    Given a system with 2 instances in each data centre
    When the home of the primary is killed
    And result r1 is posted at salt-lake-1
    And the killed instance starts again with nothing
    And 5 seconds pass
    Then only homes hold connections for callers' work

  Scenario: many open transactions leave connections for short work
    Given a system with 2 instances in each data centre
    When 12 transactions begin at durgapur-1
    And result r1 is posted at salt-lake-1
    Then result r1 is answered done
    And some transactions were refused as overloaded
    And no target had more connections than its limit
