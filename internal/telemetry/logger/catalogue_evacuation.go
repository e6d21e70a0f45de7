package logger

// Events of the evacuation of data centres.
var (
	EvacuationsListed       = Event{730, "evacuations listed", "The leader has read which data centres are evacuated, and may place tasks. Took is the time since the term began.", SeverityInfo}
	EvacuationsChanged      = Event{731, "evacuated data centres changed", "Workers of the data centres in Added get no starts from now on, those of the ones in Withdrawn get starts again. The lists have at most 8 names each; Evacuated is the number of all evacuated ones, with Workers and Runs there, which go on, but for long-running ones that are moved (736). StartsReleased starts were queued there, and their tasks are queued again. Logged at most 10 times a second; Omitted is how many lines were left out.", SeverityInfo}
	EvacuationEntryInvalid  = Event{732, "evacuation request malformed", "The key names no data centre. It changes nothing. Correct the key.", SeverityWarning}
	EvacuationViewOutdated  = Event{733, "view of the evacuations outdated", "The leader has not read the evacuations for ViewAge, longer than MaxAge, although the store answers other calls or other hosts, or has not read them in this term. It sends no starts until it has. Check the leader's link to the store.", SeverityWarning}
	EvacuationViewRecovered = Event{734, "view of the evacuations up to date again", "The leader sends starts again after Suspended.", SeverityInfo}
	EvacuationCommand       = Event{735, "evacuation command carried out", "An operator has requested or withdrawn an evacuation at this host, with the Result that the operator was told: an outcome, or the code of the error with its Cause. Remote is the address of the client. DataCentre is cut after 200 bytes.", SeverityInfo}
	EvacuationMoveBegun     = Event{736, "long-running task moves", "The task has a place on the worker To, and its run on From, in the evacuated DataCentre, is being stopped. Of its step, Unavailable tasks of at most MaxUnavailable were away from work before. Moving is the number of such moves under way.", SeverityInfo}
	EvacuationPlaceLost     = Event{737, "place of a moving task lost", "The worker, in DataCentre, accepts no tasks any more or has no capacity for the task that was to move there from an evacuated data centre. The task is placed like any other.", SeverityWarning}
)

var evacuationEvents = []Event{EvacuationsListed, EvacuationsChanged, EvacuationEntryInvalid, EvacuationViewOutdated, EvacuationViewRecovered, EvacuationCommand, EvacuationMoveBegun, EvacuationPlaceLost}
