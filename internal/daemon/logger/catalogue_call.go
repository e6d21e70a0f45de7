package logger

var callEvents = []Event{}
