package workerapi

import (
	"fmt"

	"github.com/mailru/easyjson/jlexer"
)

// wireAnswer holds all fields that a worker's answer may contain.
type wireAnswer struct {
	clockMs     int64
	remainingMs int64
	refusal     Outcome
	running     []RunningTask
	finished    []FinishedTask
}

// decode reads the body of an answer. It skips unknown fields; missing fields stay zero.
func (answer *wireAnswer) decode(data []byte) error {
	lexer := jlexer.Lexer{Data: data}
	lexer.Delim('{')
	for !lexer.IsDelim('}') {
		field := lexer.UnsafeFieldName(false)
		lexer.WantColon()
		answer.decodeField(&lexer, field)
		lexer.WantComma()
	}
	lexer.Delim('}')
	lexer.Consumed()
	if err := lexer.Error(); err != nil {
		return fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	return nil
}

func (answer *wireAnswer) decodeField(lexer *jlexer.Lexer, field string) {
	if lexer.IsNull() {
		lexer.Skip()
		return
	}
	switch field {
	case "clockMs":
		answer.clockMs = truncatedInt(lexer)
	case "remainingMs":
		answer.remainingMs = truncatedInt(lexer)
	case "reason":
		answer.refusal = parseRefusal(lexer.UnsafeString())
	case "running":
		answer.running = decodeRunning(lexer)
	case "finished":
		answer.finished = decodeFinished(lexer)
	default:
		lexer.SkipRecursive()
	}
}

func parseRefusal(reason string) Outcome {
	switch reason {
	case "fence":
		return RefusedFence
	case "old":
		return RefusedStale
	case "late":
		return RefusedLate
	case "room":
		return RefusedCapacity
	}
	return Unknown
}

func decodeRunning(lexer *jlexer.Lexer) []RunningTask {
	var running []RunningTask
	lexer.Delim('[')
	for !lexer.IsDelim(']') {
		var task RunningTask
		decodeRow(lexer, func(column int) {
			switch column {
			case 0:
				task.Task = stringOrEmpty(lexer)
			case 1:
				task.Attempt = int(truncatedInt(lexer))
			case 2:
				task.Checkpoint = stringOrEmpty(lexer)
			case 3:
				task.Percent = int(truncatedInt(lexer))
			default:
				lexer.SkipRecursive()
			}
		})
		running = append(running, task)
		lexer.WantComma()
	}
	lexer.Delim(']')
	return running
}

func decodeFinished(lexer *jlexer.Lexer) []FinishedTask {
	var finished []FinishedTask
	lexer.Delim('[')
	for !lexer.IsDelim(']') {
		var task FinishedTask
		decodeRow(lexer, func(column int) {
			switch column {
			case 0:
				task.N = uint64(truncatedInt(lexer))
			case 1:
				task.Task = stringOrEmpty(lexer)
			case 2:
				task.Attempt = int(truncatedInt(lexer))
			case 3:
				task.How = parseEndReason(lexer.UnsafeString())
			case 4:
				task.Checkpoint = stringOrEmpty(lexer)
			default:
				lexer.SkipRecursive()
			}
		})
		finished = append(finished, task)
		lexer.WantComma()
	}
	lexer.Delim(']')
	return finished
}

// decodeRow reads one array whose columns differ in type. It calls decodeColumn for each column that is present.
func decodeRow(lexer *jlexer.Lexer, decodeColumn func(column int)) {
	lexer.Delim('[')
	for column := 0; !lexer.IsDelim(']'); column++ {
		decodeColumn(column)
		lexer.WantComma()
	}
	lexer.Delim(']')
}

// truncatedInt reads a number and drops its fraction. It reads null as 0.
func truncatedInt(lexer *jlexer.Lexer) int64 {
	if lexer.IsNull() {
		lexer.Skip()
		return 0
	}
	return int64(lexer.Float64())
}

func stringOrEmpty(lexer *jlexer.Lexer) string {
	if lexer.IsNull() {
		lexer.Skip()
		return ""
	}
	return lexer.String()
}
