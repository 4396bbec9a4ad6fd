Feature: The log's order alone decides between competing records

  Scenario: Readers that saw the log in part agree with one that saw all of it
    Given 4000 random histories of claims with short retention
    When every reader has read what the log retains
    Then every reader that knows the accepted record names the true one
    And most histories have an accepted record

  Scenario: Histories that once misled a reader
    Given the histories of seeds 101411, 101783, 102453, 108424, 112589, 114357, 115390, 225157, 235750 and 251363
    When every reader has read what the log retains
    Then every reader that knows the accepted record names the true one

  Scenario: A reader that guesses from the first record it meets is caught
    Given 4000 random histories with claims from readers that only guess
    When every reader has read what the log retains
    Then some reader names a wrong record
