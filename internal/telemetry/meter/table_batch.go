package meter

// Metrics of the batch scheduler.
var (
	TasksStarted        = Metric{"TasksStarted", "", "Start commands accepted by workers."}
	TasksDone           = Metric{"TasksDone", "", "Tasks that completed."}
	TasksFailed         = Metric{"TasksFailed", "", "Attempts that failed on their worker."}
	TasksEvicted        = Metric{"TasksEvicted", "", "Evictions decided by the scheduler."}
	TasksLost           = Metric{"TasksLost", "", "Attempts that ended without a known result."}
	TasksNotStarted     = Metric{"TasksNotStarted", "", "Starts that were recorded but did not take effect on the worker."}
	TasksRunning        = Metric{"TasksRunning", "", "Tasks that hold a reservation on a worker."}
	TasksThrottled      = Metric{"TasksThrottled", "", "Throttle commands sent to workers."}
	WorkersUsable       = Metric{"WorkersUsable", "", "Workers that accept new tasks."}
	WorkersInQuarantine = Metric{"WorkersInQuarantine", "", "Workers in quarantine."}
	BatchAppends        = Metric{"BatchAppends", "", "Appends of the scheduler to the journal."}
	BatchRecordBytes    = Metric{"BatchRecordBytes", "B", "Size of the scheduler's journal records."}
)

var batchMetrics = []Metric{
	TasksStarted,
	TasksDone,
	TasksFailed,
	TasksEvicted,
	TasksLost,
	TasksNotStarted,
	TasksRunning,
	TasksThrottled,
	WorkersUsable,
	WorkersInQuarantine,
	BatchAppends,
	BatchRecordBytes,
}
