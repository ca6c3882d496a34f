package dataplane

// Logger receives the dispatcher's log messages with keys and values. A log.Logger of charmbracelet implements it.
type Logger interface {
	Info(message any, keyvals ...any)
	Warn(message any, keyvals ...any)
	Error(message any, keyvals ...any)
}
