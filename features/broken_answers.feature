Feature: What broken backend servers send costs no memory, is nobody's answer and no false "not run"

  # Each head of a scenario names what operators of other systems have reported.

  # Header lines without end took 276 MB of a daemon within a request's time limit of 2 s.
  Scenario Outline: An answer of <fault> is ended early and told as "may have run"
    Given the platform with 1 backend servers and 1 daemon
    When 2 requests at once get <fault>
    Then each ran once, and no caller got a success or was told that it did not run
    And front-1 closed each of their connections within 16 MB
    And front-1 stayed below 200 MB and serves the next request

    Examples:
      | fault                             |
      | header lines without end          |
      | a header line without end         |
      | trailers without end              |
      | chunk extensions without end      |
      | interim answers without end       |
      | another answer's body without end |
      | a refusal's body without end      |

  Scenario: A body without end is relayed until the time limit and cut off
    Given the platform with 1 backend servers and 1 daemon
    When 2 requests at once get a body without end
    Then each ran once, and no caller got a whole answer
    And front-1 stayed below 200 MB and serves the next request

  # A status check was read until its time-out, 1.6 GB a check, on the loop that serves callers.
  Scenario: A status check whose body has no end is ended early
    Given the platform with 1 backend servers and 1 daemon
    When the next status check gets a status check's body without end
    Then front-1 closed the status check within 4 MB
    And a request to its own status pages with a body of 3 MB is cut off
    And front-1 stayed below 200 MB and serves the next request

  Scenario Outline: A body of <size> bytes is read by who asked for at most 1000
    Given an exchange whose answer's body is limited to 1000 bytes
    When an answer <framed> with <size> bytes arrives in parts of <part>
    Then the exchange is <outcome>

    Examples:
      | size  | framed        | part | outcome  |
      | 1000  | with a length | 100  | complete |
      | 1001  | with a length | 100  | refused  |
      | 1000  | in chunks     | 1    | complete |
      | 1001  | in chunks     | 1    | refused  |
      | 1000  | in chunks     | 2000 | complete |
      | 90000 | in chunks     | 2000 | refused  |

  # A peer's parts were collected without a bound, and decompressed to any size.
  Scenario Outline: Of a peer that sends <what>, at most <megabytes> MB are kept
    Given the parts of configurations that peers send
    When a peer sends <what>
    Then at most <megabytes> MB are kept, and a sound configuration is read next

    Examples:
      | what                                  | megabytes |
      | parts of ever newer configurations    | 1         |
      | parts with ever higher numbers        | 1         |
      | a part behind the last one            | 1         |
      | a part of 200 MB of zeros, compressed | 1         |
      | parts under ever other names          | 1         |

  # The store or what answers in its place may never end a listing.
  Scenario Outline: A listing of the store that <goes on> ends with a failure
    Given a reader of a topic whose store answers pages that <goes on>
    When it reads
    Then the read fails after at most 51000 keys

    Examples:
      | goes on                   |
      | repeat the last key       |
      | have ever further keys    |

  # The store may be as broken as a backend server.
  Scenario: An answer of a platform service that exceeds its limit is not collected
    Given a platform client whose answers are limited to 100000 bytes
    When the service sends 100001 bytes of a longer answer
    Then the client reports a failure and closes the connection

  # Clients were told "not run" for requests that a server had run.
  Scenario Outline: The <repeated> before the answer is nobody's answer
    Given the platform with 1 backend servers and 1 daemon
    When a request gets a refusal, and the next 5 each get the <repeated>
    Then each request that ran was answered as a success, and none ran twice

    Examples:
      | repeated                        |
      | refusal repeated without its id |
      | refusal repeated                |
      | probe's answer repeated         |

  # Its id fits the second attempt, whose request runs.
  Scenario: A refusal is repeated to the second attempt of the same request
    Given a pool of one connection on which request r-1 was refused
    When request r-1 is sent again
    Then it gets a new connection
    When request r-2 is sent
    Then it reuses the connection

  Scenario: Where answers name no request, a refusal is not followed by a request
    Given a pool of one connection on which a request without an id was refused
    When request r-2 is sent
    Then it gets a new connection

  # Clients got a 200 with an empty or short body, framed as whole.
  Scenario Outline: An answer <framed> that ends at any byte is complete only as a whole
    Given an answer <framed>, on a <connection> connection
    When the connection <ends> after each number of its bytes
    Then it is complete exactly after <complete>

    Examples:
      | framed                  | connection | ends      | complete       |
      | with a length           | new        | is closed | all bytes      |
      | with a length           | kept       | is closed | all bytes      |
      | with a length           | kept       | is reset  | all bytes      |
      | in chunks with trailers | new        | is closed | all bytes      |
      | in chunks with trailers | kept       | is reset  | all bytes      |
      | without a length        | new        | is closed | the whole head |
      | without a length        | kept       | is closed | the whole head |
      | without a length        | kept       | is reset  | nothing        |

  Scenario: A head that is cut off reaches no caller as a success
    Given the platform with 1 backend servers and 1 daemon
    When 2 requests at once get a head cut off
    Then each ran once, and no caller got a success or was told that it did not run

  Scenario: Any mix of broken answers gives a success or a refusal only as the server wrote it
    Given 300 random conversations of a broken server, seed 7
    Then each outcome is one that the server wrote whole for this request
    And no reader held more than 200000 bytes of headers

  # A caller may be as broken as a server.
  Scenario: A request whose trailers have no end is refused
    Given a reader of requests with heads of at most 4096 bytes
    When a chunked request arrives whose trailers have 100000 bytes
    Then it is refused with head_too_large and its reader held no trailers
