Feature: Machines agree on the time though some of their clocks are wrong

  Rule: The median of the control machines' clocks counts

    Background:
      Given a process that hears of the clocks of 5 control machines each 0.2 s

    # Guards against usage counted in another window because a machine's clock was stepped.
    Scenario Outline: Steps of a minority of the clocks and back don't move agreed time
      When the clocks of <stepped> control machines and its own are stepped by <step> s for 10 s and back
      Then agreed time was never more than 20 ms from the truth
      And agreed time never went back

      Examples:
        | stepped | step |
        | 1       | 2    |
        | 1       | -2   |
        | 2       | 2    |
        | 2       | -2   |
        | 2       | 86400 |

    # Guards against time that comes twice: a window that is over would begin again.
    Scenario Outline: Agreed time does not go back, even where most clocks do
      When the clocks of <stepped> control machines and its own are stepped by 2 s for 10 s and back
      Then agreed time never went back

      Examples:
        | stepped |
        | 3       |
        | 5       |

    # Guards against a fall back on a clock that may have been stepped, while a monotonic one keeps the time.
    Scenario: Without the control machines the time that was agreed goes on
      When no control machine is heard for 60 s, and its own clock is stepped by 2 s meanwhile
      Then agreed time was never more than 20 ms from the truth
      And agreed time never went back

    Scenario: Losing control machines one by one, then clocks stepped, leaves agreed time where it was
      When the last 3 control machines fall silent for 20 s
      And the clock of control machine 1 is stepped by 2 s for 10 s and back
      Then agreed time was never more than 20 ms from the truth

    # Guards against a message that waited while this process was frozen being read as a clock that is slow.
    Scenario: Clocks told in messages that were long on their way are not read
      When the process is frozen for 3 s, and then reads what had come
      Then agreed time was never more than 20 ms from the truth

  Rule: Without enough clocks the own one counts too

    Scenario: Of two clocks that differ, the one nearer to what was agreed before counts
      Given a process that hears of the clocks of 1 control machine each 0.2 s
      When the clocks of 1 control machines are stepped by 2 s for 10 s and back
      Then agreed time was never more than 20 ms from the truth

    Scenario: A process that has heard nobody goes by its own clock
      Given a process that hears of the clocks of 0 control machines each 0.2 s
      When it hears nobody for 10 s
      Then agreed time was never more than 20 ms from the truth
