package meter

var clusterMetrics = []Metric{}
