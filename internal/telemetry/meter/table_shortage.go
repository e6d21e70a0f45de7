package meter

// Metrics of a capacity shortage, under ShortagePolicy Value.
var (
	ShortPools       = Metric{"ShortPools", "", "Pools, counted once for each priority, that are short of capacity."}
	ShortTaskReserve = Metric{"ShortTaskReserve", "", "Processors that long-running tasks leave free for short ones, over all pools, in thousandths of a core."}
	JobsDelayed      = Metric{"JobsDelayed", "", "Jobs that missed their objectives. A counter."}
	JobValueLost     = Metric{"JobValueLost", "", "Value that these jobs lost, in thousandths of that of a job that meets its objective. A counter."}
)

var shortageMetrics = []Metric{ShortPools, ShortTaskReserve, JobsDelayed, JobValueLost}
