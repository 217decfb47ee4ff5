Feature: An accepted configuration is in force everywhere and stays

  Scenario: in force within three seconds
    Given a system with 2 instances in each data centre
    When an operator adds class extra at howrah-1
    Then the edit is accepted
    And within 3 seconds it is in force on every instance

  Scenario: the store goes down right after the acceptance
    Given a system with 2 instances in each data centre
    When an operator adds class extra at howrah-1
    And the platform's store goes down
    Then within 3 seconds it is in force on every instance

  Scenario: the answer of the store is lost
    Given a system with 2 instances in each data centre
    When the next 1 answers of the store are lost
    And an operator adds class extra at howrah-1
    Then the edit is accepted
    And within 3 seconds it is in force on every instance

  Scenario: two operators race
    Given a system with 2 instances in each data centre
    When two operators edit version 1 at howrah-1 and durgapur-1 at once
    And 3 seconds pass
    Then one edit is accepted and the other is told of the conflict
    And the instance salt-lake-2 has version 2 in force

  Scenario: two operators race and both answers are lost
    Given a system with 2 instances in each data centre
    When the next 2 answers of the store are lost
    And two operators edit version 1 at howrah-1 and durgapur-1 at once
    Then one edit is accepted and the other is told of the conflict

  Scenario: an instance starts with nothing while the store is stale
    Given a system with 2 instances in each data centre
    And the store's text is remembered
    When an operator adds class extra at howrah-1
    And 1 seconds pass
    And the store serves version 1 of the text from now on
    And the instance durgapur-1 is killed
    And the instance durgapur-1 starts again with nothing
    And 3 seconds pass
    Then the instance durgapur-1 has version 2 in force

  Scenario: without the check of the version an instance goes back
    Given the version check is switched off
    And a system with 2 instances in each data centre
    And the store's text is remembered
    When an operator adds class extra at howrah-1
    And 1 seconds pass
    And an instance offers the remembered text to howrah-2
    Then the instance howrah-2 has version 1 in force

  Scenario: an old text is offered
    Given a system with 2 instances in each data centre
    And the store's text is remembered
    When an operator adds class extra at howrah-1
    And 1 seconds pass
    And an instance offers the remembered text to howrah-2
    Then the instance howrah-2 has version 2 in force

  Scenario: an instance starts with nothing while the store is down
    Given a system with 2 instances in each data centre
    When the platform's store goes down
    And the instance durgapur-1 is killed
    And the instance durgapur-1 starts again with nothing
    And 3 seconds pass
    Then the instance durgapur-1 has version 1 in force

  Scenario: a data centre is cut off and heals
    Given a system with 2 instances in each data centre
    When the data centre durgapur is cut off
    And an operator adds class extra at howrah-1
    Then within 3 seconds it is in force on every instance but in durgapur
    When the network heals
    And 3 seconds pass
    Then the instance durgapur-1 has version 2 in force

  Scenario: the relay of a data centre is dead
    Given a system with 2 instances in each data centre
    When the relays of durgapur are killed
    And an operator adds class extra at howrah-1
    Then within 3 seconds it is in force on every instance

  Scenario: a text with findings changes nothing
    Given a system with 2 instances in each data centre
    When an operator adds a class of a wrong kind at howrah-1
    And 3 seconds pass
    Then the edit is refused with a finding in line 1 from the end
    And no instance has a version above 1

  Scenario: an instance meets a text that its release does not accept
    Given a system with 2 instances in each data centre
    When an instance pushes a text with a finding to howrah-2
    And 1 seconds pass
    Then the instance howrah-2 has version 1 in force
    When an operator adds class extra at howrah-1
    Then within 3 seconds it is in force on every instance
