package meter

// Metrics of batch work.
var (
	TasksStarted        = Metric{"TasksStarted", "", "Start commands that workers accepted."}
	TasksDone           = Metric{"TasksDone", "", "Tasks that finished."}
	TasksFailed         = Metric{"TasksFailed", "", "Attempts that failed on their worker."}
	TasksEvicted        = Metric{"TasksEvicted", "", "Evictions decided."}
	TasksLost           = Metric{"TasksLost", "", "Attempts that ended without a known result."}
	TasksNotStarted     = Metric{"TasksNotStarted", "", "Recorded starts that never began on the worker."}
	TasksRunning        = Metric{"TasksRunning", "", "Tasks that hold a reservation on a worker."}
	TasksThrottled      = Metric{"TasksThrottled", "", "Throttle commands sent."}
	WorkersUsable       = Metric{"WorkersUsable", "", "Workers that take new tasks."}
	WorkersInQuarantine = Metric{"WorkersInQuarantine", "", "Workers in quarantine."}
	BatchAppends        = Metric{"BatchAppends", "", "Appends of the scheduler to the journal."}
	BatchRecordBytes    = Metric{"BatchRecordBytes", "B", "Bytes of the scheduler's journal records."}
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
