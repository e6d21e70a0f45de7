package logger

// Events of a capacity shortage, under ShortagePolicy Value. Together they are logged at most once a second.
var (
	ShortageBegan = Event{750, "capacity shortage began", "Tasks that a pool could run have waited for longer than 250 ms without a worker with capacity. Steps of Pool and Priority are placed by the value that their jobs can still yield relative to the capacity that they need. The keys are those of event 752.", SeverityWarning}
	ShortageOver  = Event{751, "capacity shortage over", "No task has waited without capacity for 2 s. Steps are placed by their latest start again. Delayed and ValueLost count since the shortage began, which is Lasted ago.", SeverityInfo}
	ShortageGoes  = Event{752, "capacity shortage", "Pool and Priority have the most waiting steps of those that are Short of capacity. OnTime, Late and Overdue are these steps by whether their jobs can still meet their objectives, are late but of use, or end too late to be of use. Favoured is how many belong to large jobs that were served less often than others, Promoted is whether the oldest overdue job goes before all others. Reserve is what long-running tasks leave free for short ones in the pool, in thousandths of a core. Delayed is the number of jobs that missed their objectives since the last such line, ValueLost their loss: 1 for each job that was of no use any more, 0.833 for one that was late. Logged once a second.", SeverityInfo}
)

var shortageEvents = []Event{ShortageBegan, ShortageOver, ShortageGoes}
