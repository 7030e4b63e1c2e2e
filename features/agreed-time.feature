Feature: Machines agree on the time although some of their clocks are wrong

  Rule: The median of the control machines' clocks is used

    Background:
      Given a process that receives the clocks of 5 control machines every 0.2 s

    # Guards against usage counted in the wrong window because a machine's clock was stepped.
    Scenario Outline: Temporary steps of a minority of the clocks don't change agreed time
      When the clocks of <stepped> control machines and its own are stepped by <step> s for 10 s and back
      Then agreed time was never more than 20 ms from true time
      And agreed time never went back

      Examples:
        | stepped | step |
        | 1       | 2    |
        | 1       | -2   |
        | 2       | 2    |
        | 2       | -2   |
        | 2       | 86400 |

    # Guards against time that repeats: a usage window that has ended would begin again.
    Scenario Outline: Agreed time does not go back, even if most clocks do
      When the clocks of <stepped> control machines and its own are stepped by 2 s for 10 s and back
      Then agreed time never went back

      Examples:
        | stepped |
        | 3       |
        | 5       |

    # Guards against a fallback to a wall clock that may have been stepped, while the monotonic clock is still accurate.
    Scenario: Without the control machines agreed time continues
      When no control machine sends its clock for 60 s, and the process's own clock is stepped by 2 s meanwhile
      Then agreed time was never more than 20 ms from true time
      And agreed time never went back

    Scenario: Lost control machines followed by a stepped clock don't change agreed time
      When the last 3 control machines fall silent for 20 s
      And the clock of control machine 1 is stepped by 2 s for 10 s and back
      Then agreed time was never more than 20 ms from true time

    # Guards against a message that was buffered while the process was suspended being read as a slow clock.
    Scenario: Clocks in delayed messages are ignored
      When the process is suspended for 3 s and then reads the buffered messages
      Then agreed time was never more than 20 ms from true time

  Rule: Without enough clocks the process's own clock is used too

    Scenario: Of two clocks that differ, the one closer to the previous agreed time is used
      Given a process that receives the clocks of 1 control machine every 0.2 s
      When the clocks of 1 control machines are stepped by 2 s for 10 s and back
      Then agreed time was never more than 20 ms from true time

    Scenario: A process that has received no clock uses its own
      Given a process that receives the clocks of 0 control machines every 0.2 s
      When it receives no clock for 10 s
      Then agreed time was never more than 20 ms from true time
