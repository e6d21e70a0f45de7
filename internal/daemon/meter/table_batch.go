package meter

var batchMetrics = []Metric{}
