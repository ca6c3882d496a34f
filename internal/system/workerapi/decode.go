package workerapi

import (
	"fmt"

	"github.com/mailru/easyjson/jlexer"
)

// wireAnswer is everything that an answer of a worker may carry.
type wireAnswer struct {
	clockMs     int64
	remainingMs int64
	refusal     Outcome
	running     []RunningTask
	finished    []FinishedTask
}

// decode reads the body of an answer. Unknown fields are skipped; whatever is missing stays zero.
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
		answer.clockMs = whole(lexer)
	case "remainingMs":
		answer.remainingMs = whole(lexer)
	case "reason":
		answer.refusal = refusalOf(lexer.UnsafeString())
	case "running":
		answer.running = decodeRunning(lexer)
	case "finished":
		answer.finished = decodeFinished(lexer)
	default:
		lexer.SkipRecursive()
	}
}

func refusalOf(reason string) Outcome {
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
				task.Task = text(lexer)
			case 1:
				task.Attempt = int(whole(lexer))
			case 2:
				task.Checkpoint = text(lexer)
			case 3:
				task.Percent = int(whole(lexer))
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
				task.N = uint64(whole(lexer))
			case 1:
				task.Task = text(lexer)
			case 2:
				task.Attempt = int(whole(lexer))
			case 3:
				task.How = howOf(lexer.UnsafeString())
			case 4:
				task.Checkpoint = text(lexer)
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

// decodeRow reads one array whose columns differ in type; columns that are missing at its end stay zero.
func decodeRow(lexer *jlexer.Lexer, decodeColumn func(column int)) {
	lexer.Delim('[')
	for column := 0; !lexer.IsDelim(']'); column++ {
		decodeColumn(column)
		lexer.WantComma()
	}
	lexer.Delim(']')
}

// whole reads a number and drops what follows its point.
func whole(lexer *jlexer.Lexer) int64 {
	if lexer.IsNull() {
		lexer.Skip()
		return 0
	}
	return int64(lexer.Float64())
}

func text(lexer *jlexer.Lexer) string {
	if lexer.IsNull() {
		lexer.Skip()
		return ""
	}
	return lexer.String()
}
