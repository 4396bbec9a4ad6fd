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

  # Each caller that gave up cost its body and a failure of the server, until processes ended.
  Scenario Outline: A caller that leaves in the middle of its body costs neither memory nor a server
    Given a daemon with 3 backend servers on fake connections
    When 5 callers of a <kind> leave after 5000 of 9000 bytes, <moment>
    Then nothing is kept of it
    And the connections to servers are closed, and no server has a failure

    Examples:
      | kind  | moment                           |
      | write | while the connection is opened   |
      | write | after the connection was opened  |
      | read  | while the connection is opened   |
      | read  | after the connection was opened  |
      | write | within chunks that are not valid |

  Scenario: A caller that leaves before its body is large enough to be passed on costs no memory
    Given a daemon with 3 backend servers on fake connections
    When a caller leaves after 500 of 9000 bytes
    Then nothing is kept of it

  # Where a server was slow to accept, writes reached it up to 1.3 s after their callers had left
  # (the second review, GONE).
  Scenario Outline: The attempt of a complete <kind> whose caller leaves <moment> <ends>
    Given a daemon with 3 backend servers on fake connections
    When the caller of a complete <kind> leaves <moment>
    Then the server's connection <ends>
    And the server's answer leaves nothing behind

    Examples:
      | kind  | moment                          | ends      |
      | write | while the connection is opened  | is closed |
      | read  | while the connection is opened  | is closed |
      | write | after the connection was opened | goes on   |
      | read  | after the connection was opened | is closed |

  # A call that had been given a freed slot was never sent, and got 504.
  Scenario: An order that can't be carried out keeps no other order back
    Given a daemon with 3 backend servers on fake connections
    When two calls end in one pass, and the reply to the first raises an error
    Then the second is answered, and nothing is kept of it

  # Writes to /read%2F1 took the route of /read/, which is safe, and ran twice.
  Scenario Outline: A request to <path> takes the route of the longest prefix that begins it as sent
    Given a daemon with 3 backend servers on fake connections
    When a caller and a peer send a request to <path>
    Then both take the route <route>
    And the server gets the bytes <path>

    Examples:
      | path                  | route   |
      | /read/1               | /read/  |
      | /read/1?a=/write/     | /read/  |
      | /read%2F1             | /       |
      | /read%2f1             | /       |
      | /write%2Fread/1       | /       |
      | /write/..%2Fread/1    | /write/ |
      | /read/../write/1      | /read/  |
      | /read/%2e%2e/write/1  | /read/  |
      | /read/./1             | /read/  |
      | //read/1              | /       |
      | /read//1              | /read/  |
      | /re%61d/1             | /       |
      | /READ/1               | /       |

  # Responses that were ready early were cut off by a reset, since unread bytes were left.
  Scenario Outline: A connection that closes after <response> is read on until its caller has it
    Given a daemon with 3 backend servers on fake connections
    When a caller gets <response> before its 9000000 bytes have arrived
    Then the sending side is shut down after the response
    And at most 5000000 bytes are read on, and the connection is open
    When 7 s have passed
    Then the connection is closed

    Examples:
      | response            |
      | a server's response |
      | a refusal           |

  # A request behind a last one was run although nobody could get its response.
  Scenario: A request behind one that closes the connection is not passed on
    Given a daemon with 3 backend servers on fake connections
    When a caller sends a request that is refused and a write at once during a planned stop
    Then nothing is passed on, and the caller gets one response
    And nothing is kept of it

  Scenario Outline: A planned stop of at most 6 s waits for responses on the way, less its reserve
    Given a daemon with 3 backend servers on fake connections
    And a caller whose response is <state>
    When a planned stop has lasted <seconds> s
    Then the process <ends>

    Examples:
      | state      | seconds | ends          |
      | on the way | 5.4     | does not end  |
      | on the way | 5.6     | ends          |
      | received   | 4.0     | ends          |

  # Statuses from 600 on reached callers as answers; below 100 they were taken for interim
  # answers, and callers waited for another until their time limit (MIXED).
  Scenario Outline: A server's answer with the status <status> is no answer to a <kind>
    Given a daemon with 2 backend servers on fake connections
    When a server answers a <kind> with the status <status>
    Then the caller is told <given>, and the server's connection is closed

    Examples:
      | status | kind  | given |
      | 000    | write | 502   |
      | 001    | write | 502   |
      | 099    | write | 502   |
      | 600    | write | 502   |
      | 700    | write | 502   |
      | 999    | write | 502   |
      | 20     | write | 502   |
      | 1000   | write | 502   |
      | 0200   | write | 502   |
      | 101    | write | 502   |
      | 000    | read  | 200   |
      | 600    | read  | 200   |

  Scenario Outline: A server's answer with the status <status> is passed on
    Given a daemon with 2 backend servers on fake connections
    When a server answers a write with the status <status>
    Then the caller is told <status>
    And nothing is kept of it

    Examples:
      | status |
      | 200    |
      | 404    |
      | 599    |

  # The next request on such a connection got no response until its time limit.
  Scenario: A connection that was paused for a slow caller is read again for the next one
    Given a daemon with 1 backend servers on fake connections
    When a caller that reads slowly gets a response of 3000 bytes in one piece
    Then the connection to the server is kept and is not paused

  # Callers repeated writes that had run, since 503 promises that they have not.
  Scenario Outline: A server's <status> for a <kind> <stating> gives the caller <given>
    Given a daemon with 1 backend servers on fake connections
    When the only server answers a <kind> with <status> <stating> and <size> bytes
    Then the caller is told <given>
    And nothing is kept of it

    Examples:
      | kind  | status | size | stating                    | given |
      | write | 503    | 2    | without stating an outcome | 502   |
      | write | 429    | 2    | without stating an outcome | 502   |
      | write | 408    | 2    | without stating an outcome | 502   |
      | write | 421    | 2    | without stating an outcome | 502   |
      | write | 503    | 3000 | without stating an outcome | 502   |
      | write | 503    | 2    | stating that it did not run | 503   |
      | write | 500    | 2    | without stating an outcome | 500   |
      | write | 404    | 2    | without stating an outcome | 404   |
      | read  | 429    | 2    | without stating an outcome | 429   |
      | read  | 421    | 2    | without stating an outcome | 421   |
