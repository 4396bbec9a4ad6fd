Feature: Requests that a caller sends ahead run side by side where that is safe

  # r is a request that may run more than once, w one that may not, i one that is incomplete;
  # capitals were passed on; a C says in its response that the connection closes, and the answer
  # to a B may be cut off on its way to the caller.
  Scenario Outline: Of the requests <requests> with <held> bytes held, <startable> may start
    Given the unanswered requests <requests> of one connection
    When <held> bytes of responses wait for their turn
    Then <startable> may start, in this order and before a response

    Examples:
      | requests   | held   | startable               |
      | r          | 0      | 1                       |
      | w          | 0      | 1                       |
      | rrr        | 0      | 1, 2, 3                 |
      | Rrr        | 0      | 2, 3                    |
      | rwr        | 0      | 1                       |
      | RRwr       | 0      | none                    |
      | wrr        | 0      | 1                       |
      | Wrr        | 0      | none                    |
      | wwr        | 0      | 1                       |
      | i          | 0      | 1                       |
      | Ri         | 0      | none                    |
      | rir        | 0      | 1                       |
      | Crr        | 0      | none                    |
      | Brr        | 0      | none                    |
      | RBr        | 0      | none                    |
      | Rrb        | 0      | 2, 3                    |
      | rrrrrrrrrr | 0      | 1, 2, 3, 4, 5, 6, 7, 8  |
      | RRRRRRRRr  | 0      | none                    |
      | Rr         | 262144 | 2                       |
      | Rr         | 262145 | none                    |
      | r          | 999999 | 1                       |

  # One slow response used to keep the requests behind it from being passed on.
  Scenario Outline: The responses to <requests> keep the order of the requests
    Given a daemon with 3 backend servers on fake connections
    When a caller sends <requests> at once, and servers answer in the order <order>
    Then <passed_on> requests were passed on at first
    And the responses arrive complete in the order of the requests

    Examples:
      | requests | order   | passed_on |
      | rrr      | 1, 2, 3 | 3         |
      | rrr      | 3, 2, 1 | 3         |
      | rrr      | 2, 3, 1 | 3         |
      | rwr      | 1, 2, 3 | 1         |
      | rrwrr    | 2, 1, 3, 5, 4 | 2   |
      | wrr      | 1, 3, 2 | 1         |

  Scenario: A refusal is held until the responses before it are sent
    Given a daemon with 3 backend servers on fake connections
    When a caller sends a read, one that is refused and a read at once
    Then the two reads are passed on, and nothing is sent before the first is answered
    And the responses are 200, 400 and 200

  Scenario: A caller that leaves cancels all that it had sent ahead
    Given a daemon with 3 backend servers on fake connections
    When a caller sends rrr at once and leaves
    Then the connections to servers are closed, and no server has a failure
    And nothing is kept of it

  # Servers ran seven requests behind each download that was broken off; the callers got no answer
  # to them (review/9, LOST).
  Scenario: A request behind a download is passed on once the download has arrived
    Given a daemon with 3 backend servers on fake connections
    When a caller sends brr, and a server sends 3000 of 5000 bytes of the first
    Then 1 requests were passed on so far
    When the server sends the rest
    Then 3 requests were passed on so far
    And the responses arrive complete in the order of the requests

  Scenario: Nothing was passed on behind a download that breaks off
    Given a daemon with 3 backend servers on fake connections
    When a caller sends brr, and a server sends 3000 of 5000 bytes of the first
    And the connection to that server breaks
    Then 1 requests were passed on so far
    And the caller has the first part and a closed connection, and nothing is kept of it

  Scenario: Nothing more is passed on behind a large answer once it is relayed
    Given a daemon with 3 backend servers on fake connections
    When a caller sends r, and a server sends 3000 of 5000 bytes of the first
    And the caller sends a read behind it
    Then 1 requests were passed on so far

  Scenario: A request behind a cut response is cancelled
    Given a daemon with 3 backend servers on fake connections
    When a caller sends rr at once, and the first response breaks off
    Then the caller has the first part and a closed connection
    And the second request was cancelled, and nothing is kept of it

  Scenario: A planned stop answers what was passed on and passes on nothing behind it
    Given a daemon with 3 backend servers on fake connections
    When a caller sends rrw at once, and a planned stop begins
    Then both reads are answered, and the write is not passed on

  Scenario: Large responses that are early wait at their servers
    Given a daemon with 3 backend servers on fake connections
    When a caller sends rrr at once, and the last two get 300000 bytes first
    Then at most 400000 bytes are held, and the servers are paused
    When the first is answered, and the servers are read on
    Then the responses arrive complete in the order of the requests

  Scenario: Time spent behind another request is subtracted from the caller's limit
    Given a daemon with 1 backend servers on fake connections
    When a write with a limit of 3000 ms waits 0.2 s behind another
    Then the server is told at most 2850 ms

  Scenario: Reads sent ahead are served side by side by a real daemon
    Given a system of 1 daemons and 2 backend servers
    When 4 reads of 600 ms are sent at once on one connection
    Then their responses arrive in order, in less than the 2.4 s of one after the other

  # Reading pauses while 8 requests wait, and the end of the connection was not noticed.
  Scenario: Reads sent ahead are cancelled when their caller leaves a connection that is not read
    Given a system of 1 daemons and 1 backend servers
    When 12 reads of 1000 ms are sent at once on a connection that its caller then closes
    Then only the 3 reads ran that had a slot
