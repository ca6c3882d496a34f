package dataplane

// Logger takes the few lines that a dispatcher writes, each with keys and values; a log.Logger of charmbracelet is one.
type Logger interface {
	Info(message any, keyvals ...any)
	Warn(message any, keyvals ...any)
	Error(message any, keyvals ...any)
}
