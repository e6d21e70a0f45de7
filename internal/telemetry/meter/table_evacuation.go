package meter

// Metrics of the evacuation of data centres, at the leader unless they say otherwise.
var (
	DataCentresEvacuated           = Metric{"DataCentresEvacuated", "", "Data centres whose evacuation is requested."}
	EvacuatedWorkers               = Metric{"EvacuatedWorkers", "", "Workers in evacuated data centres."}
	EvacuatedRuns                  = Metric{"EvacuatedRuns", "", "Runs in evacuated data centres, which go on until they end."}
	EvacuationViewAge              = Metric{"EvacuationViewAge", "ms", "Time since the leader last read the evacuations."}
	EvacuationStartsReleased       = Metric{"EvacuationStartsReleased", "", "Starts that were queued for workers as their data centre was evacuated, and were not sent. A counter."}
	TasksWaitingEvacuated          = Metric{"TasksWaitingDataCentreEvacuated", "", "Tasks for which the last placement round found a worker only in an evacuated data centre."}
	TasksWaitingEvacuationsUnknown = Metric{"TasksWaitingEvacuationsUnknown", "", "Tasks that wait because the leader's view of the evacuations is missing or outdated."}
	EvacuationsRequested           = Metric{"EvacuationsRequested", "", "Evacuations that operators requested at this host and that were stored. A counter."}
	EvacuationsWithdrawn           = Metric{"EvacuationsWithdrawn", "", "Evacuations that operators withdrew at this host. A counter."}
)

var evacuationMetrics = []Metric{
	DataCentresEvacuated, EvacuatedWorkers, EvacuatedRuns, EvacuationViewAge, EvacuationStartsReleased, TasksWaitingEvacuated, TasksWaitingEvacuationsUnknown,
	EvacuationsRequested, EvacuationsWithdrawn,
}
