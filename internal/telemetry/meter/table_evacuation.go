package meter

// Metrics of the evacuation of data centres, at the leader unless they say otherwise.
var (
	DataCentresEvacuated           = Metric{"DataCentresEvacuated", "", "Data centres whose evacuation is requested."}
	EvacuatedWorkers               = Metric{"EvacuatedWorkers", "", "Workers in evacuated data centres."}
	EvacuatedRuns                  = Metric{"EvacuatedRuns", "", "Runs in evacuated data centres. They go on until they end, or until they are moved if they are long-running."}
	EvacuationRunsToMove           = Metric{"EvacuationRunsToMove", "", "Long-running runs in evacuated data centres that are still to be moved."}
	EvacuationMovesUnderWay        = Metric{"EvacuationMovesUnderWay", "", "Long-running tasks that are moving away from evacuated data centres and are not at work again."}
	EvacuationMoves                = Metric{"EvacuationMoves", "", "Moves of long-running tasks away from evacuated data centres that have begun. A counter."}
	EvacuationPlacesLost           = Metric{"EvacuationPlacesLost", "", "Such moves whose place on another worker was lost before the task was placed there. A counter."}
	EvacuationViewAge              = Metric{"EvacuationViewAge", "ms", "Time since the leader last read the evacuations."}
	EvacuationStartsReleased       = Metric{"EvacuationStartsReleased", "", "Starts that were queued for workers as their data centre was evacuated, and were not sent. A counter."}
	TasksWaitingEvacuated          = Metric{"TasksWaitingDataCentreEvacuated", "", "Tasks for which the last placement round found a worker only in an evacuated data centre."}
	TasksWaitingEvacuationsUnknown = Metric{"TasksWaitingEvacuationsUnknown", "", "Tasks that wait because the leader's view of the evacuations is missing or outdated."}
	EvacuationsRequested           = Metric{"EvacuationsRequested", "", "Evacuations that operators requested at this host and that were stored. A counter."}
	EvacuationsWithdrawn           = Metric{"EvacuationsWithdrawn", "", "Evacuations that operators withdrew at this host. A counter."}
)

var evacuationMetrics = []Metric{
	DataCentresEvacuated, EvacuatedWorkers, EvacuatedRuns, EvacuationRunsToMove, EvacuationMovesUnderWay, EvacuationMoves, EvacuationPlacesLost, EvacuationViewAge, EvacuationStartsReleased, TasksWaitingEvacuated, TasksWaitingEvacuationsUnknown,
	EvacuationsRequested, EvacuationsWithdrawn,
}
