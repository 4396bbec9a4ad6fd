Feature: Clients that nobody controls

  # In a trial, clients ended a process, since it kept what they sent without a bound: header
  # lines that cost many times their bytes, bodies that never ended, answers that nobody read.
  # Memory and descriptors of the VM are those that the daemon's settings state.
  Scenario Outline: A crowd of clients neither ends a daemon nor takes its memory
    Given a daemon on a small VM
    When a crowd of clients sends <what>
    Then the daemon lives and stays within the VM's memory and descriptors
    And an ordinary request is answered while the crowd's connections stay open

    Examples: crowds
      | what                            |
      | short header lines              |
      | odd header lines                |
      | a head without end              |
      | a head over the limit           |
      | empty lines without end         |
      | large bodies with a length      |
      | large bodies in chunks          |
      | bodies that stop short          |
      | bodies behind a slow request    |
      | large answers that are not read |
      | nothing                         |
