package workerapi

import (
	"fmt"

	"github.com/mailru/easyjson/jlexer"
)

// listPage is one page of the platform's list. nextToken is empty on the last page.
type listPage struct {
	instances []Instance
	nextToken string
}

func decodeListPage(data []byte) (listPage, error) {
	var page listPage
	lexer := jlexer.Lexer{Data: data}
	lexer.Delim('{')
	for !lexer.IsDelim('}') {
		field := lexer.UnsafeFieldName(false)
		lexer.WantColon()
		page.decodeField(&lexer, field)
		lexer.WantComma()
	}
	lexer.Delim('}')
	lexer.Consumed()
	if err := lexer.Error(); err != nil {
		return listPage{}, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	return page, nil
}

func (page *listPage) decodeField(lexer *jlexer.Lexer, field string) {
	if lexer.IsNull() {
		lexer.Skip()
		return
	}
	switch field {
	case "instances":
		page.decodeInstances(lexer)
	case "nextPageToken":
		page.nextToken = lexer.String()
	default:
		lexer.SkipRecursive()
	}
}

func (page *listPage) decodeInstances(lexer *jlexer.Lexer) {
	lexer.Delim('[')
	for !lexer.IsDelim(']') {
		page.instances = append(page.instances, decodeInstance(lexer))
		lexer.WantComma()
	}
	lexer.Delim(']')
}

func decodeInstance(lexer *jlexer.Lexer) Instance {
	var instance Instance
	lexer.Delim('{')
	for !lexer.IsDelim('}') {
		field := lexer.UnsafeFieldName(false)
		lexer.WantColon()
		instance.decodeField(lexer, field)
		lexer.WantComma()
	}
	lexer.Delim('}')
	return instance
}

func (instance *Instance) decodeField(lexer *jlexer.Lexer, field string) {
	if lexer.IsNull() {
		lexer.Skip()
		return
	}
	switch field {
	case "id":
		instance.ID = lexer.String()
	case "backend":
		instance.Backend = lexer.StringIntern()
	case "address":
		instance.Address = lexer.String()
	case "zone":
		instance.Zone = lexer.StringIntern()
	case "version":
		instance.Version = lexer.StringIntern()
	case "capacity":
		instance.Capacity = int(truncatedInt(lexer))
	case "state":
		instance.State = parseInstanceState(lexer.UnsafeString())
	case "coldRemainingMs":
		instance.ColdRemainingMs = truncatedInt(lexer)
	case "remainingMs":
		instance.RemainingMs = truncatedInt(lexer)
	case "allocatable":
		instance.Allocatable = decodeAllocatable(lexer)
	case "labels":
		instance.Labels = decodeLabels(lexer)
	default:
		lexer.SkipRecursive()
	}
}

func parseInstanceState(word string) InstanceState {
	switch word {
	case "ready":
		return StateReady
	case "draining":
		return StateDraining
	}
	return StateUnknown
}

func decodeAllocatable(lexer *jlexer.Lexer) Allocatable {
	var allocatable Allocatable
	lexer.Delim('{')
	for !lexer.IsDelim('}') {
		field := lexer.UnsafeFieldName(false)
		lexer.WantColon()
		switch field {
		case "cpu":
			allocatable.CPU = int(truncatedInt(lexer))
		case "memMb":
			allocatable.MemoryMB = int(truncatedInt(lexer))
		case "gpus":
			allocatable.GPUs = int(truncatedInt(lexer))
		default:
			lexer.SkipRecursive()
		}
		lexer.WantComma()
	}
	lexer.Delim('}')
	return allocatable
}

func decodeLabels(lexer *jlexer.Lexer) []string {
	var labels []string
	lexer.Delim('[')
	for !lexer.IsDelim(']') {
		labels = append(labels, lexer.StringIntern())
		lexer.WantComma()
	}
	lexer.Delim(']')
	return labels
}
