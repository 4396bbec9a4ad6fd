Feature: Callers' connections pass whole bodies on, and free what their callers leave behind

  # Writes ran with 28,672 bytes missing from the middle of their body.
  Scenario Outline: A body <framed> that arrives while connections fail to open reaches a server whole
    Given a daemon with 3 backend servers on fake connections
    When a write of 9000 bytes <framed> arrives while <failed> connections fail one after the other
    Then the next server gets the whole body once
    And the caller gets the server's answer

    Examples:
      | framed        | failed |
      | with a length | 0      |
      | with a length | 2      |
      | in chunks     | 1      |
      | in chunks     | 2      |

  Scenario Outline: A body of which a part was sent goes to no second server
    Given a daemon with 3 backend servers on fake connections
    When the connection breaks after 5000 of 9000 bytes of a <kind> were sent
    Then no other server gets it, and the caller is told 502
    And nothing is kept of it

    Examples:
      | kind  |
      | write |
      | read  |
