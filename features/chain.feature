Feature: The log's order alone decides between competing records

  Scenario: Readers that read part of the log agree with one that read all of it
    Given 4000 random histories of claims with short retention
    When every reader has read what the log retains
    Then every reader that knows the accepted record has the right one
    And most histories have an accepted record

  Scenario: Histories in which a reader once accepted a wrong record
    Given the histories of seeds 101411, 101783, 102453, 108424, 112589, 114357, 115390, 225157, 235750 and 251363
    When every reader has read what the log retains
    Then every reader that knows the accepted record has the right one

  Scenario: A reader that guesses from the first record it reads is detected
    Given 4000 random histories with claims by readers that only guess
    When every reader has read what the log retains
    Then some reader has a wrong record
