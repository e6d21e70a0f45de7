package logger

// Events of jobs that certainly cannot be of use any more, see package rejecter.
var (
	JobUseless      = Event{770, "useless job refused", "The job was not stored and will not run, as it would end too late to be of use. Expected is its expected time from submission to end, Limit the longest of use, and Drain the time in which the unfinished jobs of the queue end. Ended, Missed and Delay are the leader's observations of the last 2 s, see event 772. Logged at most 10 times a second; Omitted is how many lines were left out.", SeverityWarning}
	JobMaybeUseless = Event{771, "useless job accepted", "The job was not refused although it would end too late to be of use, as it may have been stored by an earlier attempt, or the store did not tell. Reason says which. Logged at most 10 times a second; Omitted is how many lines were left out.", SeverityInfo}
	QueueBehind     = Event{772, "queue behind", "New jobs of the queue may be of no use. Ended is the number of its jobs that completed within 2 s, Delay the least time that one of them took beyond its critical path, Missed the number that became late while they waited for capacity, Drain the time in which the unfinished ones end at the present rate, Overrun the highest ratio of a run time to its estimate. Logged once a second for each queue by the leader.", SeverityWarning}
	LoadHintInvalid = Event{773, "load hint malformed", "The leader's load hint has values out of range and is not used. Check whether the leader runs another version.", SeverityWarning}
)

var refusalEvents = []Event{JobUseless, JobMaybeUseless, QueueBehind, LoadHintInvalid}
