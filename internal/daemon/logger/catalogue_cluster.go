package logger

var clusterEvents = []Event{}
