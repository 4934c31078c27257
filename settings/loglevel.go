package settings

// LogLevel is the lowest level of log lines that a daemon writes.
type LogLevel string

// The log levels, from the most to the least verbose.
const (
	Debug LogLevel = "debug"
	Info  LogLevel = "info"
	Warn  LogLevel = "warn"
	Error LogLevel = "error"
)
