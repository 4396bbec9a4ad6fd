Feature: Every caller gets the complete answer to its own request, and "not run" is true

  Scenario Outline: A read whose answer is <fault> is answered in full by another backend server
    Given a system of 2 daemons and 2 backend servers
    When every backend server misbehaves once with <fault>
    And 6 reads go through all daemons one after the other
    Then every answer is complete and belongs to its own request

    Examples:
      | fault         |
      | cut_body      |
      | lose_answer   |
      | double_answer |
      | junk          |
      | no_length     |

  Scenario Outline: A write whose answer is <fault> gets the outcome unknown and runs once
    Given a system of 2 daemons and 2 backend servers
    When every backend server misbehaves always with <fault>
    And a write without a key goes through entry-1
    Then its outcome is unknown and it ran once

    Examples:
      | fault       |
      | cut_body    |
      | lose_answer |
      | junk        |

  Scenario: Answers that arrive after the caller's time limit reach no other caller
    Given a system of 2 daemons and 2 backend servers
    When 80 reads with short time limits and slow answers go through all daemons at once
    Then every complete answer belongs to its own request
    And some reads were refused because their time limit passed

  Scenario: A large answer that is cut off never looks complete
    Given a system of 1 daemons and 1 backend servers
    When a backend server is killed in the middle of a 60000000 byte answer
    Then the caller sees that the answer was cut off

  Scenario: A read whose owner is killed is answered by another daemon
    Given a system of 3 daemons and 2 backend servers
    When the daemon that owns the queue is killed while it holds a read
    Then the read gets a complete answer

  Scenario: A write that backend servers shed is refused as not run and did not run
    Given a system of 2 daemons and 2 backend servers
    When every backend server sheds
    And a write without a key goes through entry-1
    Then it is refused with shed and outcome not-run
    And nothing ran

  Scenario: A write to backend servers that are all killed is told not run
    Given a system of 1 daemons and 2 backend servers
    When every backend server is killed
    And a write without a key goes through entry-1
    Then it is refused with connect_failed and outcome not-run

  Scenario: A large body streams both ways unharmed
    Given a system of 2 daemons and 1 backend servers
    When a body of 5000000 bytes is sent and 5000000 bytes are answered through entry-2
    Then the backend server and the caller received every byte

  Scenario: HEAD, keep-alive and pipelined requests are served in order
    Given a system of 2 daemons and 1 backend servers
    When a HEAD, a GET and a GET are sent at once on one connection
    Then three answers arrive in order and the first has no body

  Scenario: A caller that disconnects cancels its waiting read
    Given a system of 1 daemons and 1 backend servers
    When a caller disconnects while its read waits for a slot
    Then the read never ran

  Scenario Outline: A request with <flaw> is refused and reaches no backend server
    Given a system of 1 daemons and 1 backend servers
    When raw bytes with <flaw> are sent
    Then the status is <status> and nothing ran

    Examples:
      | flaw                            | status |
      | two lengths                     | 400    |
      | a length and chunked            | 400    |
      | a space before a colon          | 400    |
      | a bare line feed in a header    | 400    |
      | no host                         | 400    |
      | two hosts                       | 400    |
      | a negative length               | 400    |
      | an over-long head               | 431    |
      | an unknown transfer coding      | 501    |
      | an upgrade                      | 501    |
      | a time limit that is no number  | 400    |

  Scenario: A connection that ends at any byte of the head was not read as a request
    Given an exchange whose connection ends after each number of bytes of its request
    Then it reports the request as sent exactly when the complete head was sent

  Scenario: After a reused connection turned out to be closed, other idle ones are not reused
    Given a pool of two connections that have been idle for 2 s
    When the backend server resets the reused connection at once
    Then the next request gets a new connection

  Scenario: A connection that is lost while its request runs does not affect idle ones
    Given a pool of two connections that have been idle for 2 s
    When the backend server resets the reused connection after 80 ms
    Then the next request uses the other connection
