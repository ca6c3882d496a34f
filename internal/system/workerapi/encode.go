package workerapi

import (
	"strconv"
	"unicode/utf8"
)

// smallOrderBytes is the initial capacity for an order without a spec.
const smallOrderBytes = 160

// sizeHint returns the initial capacity for the order. It suffices if the spec needs few escapes.
func (order *StartOrder) sizeHint() int {
	return smallOrderBytes + len(order.Spec) + len(order.Spec)/8
}

// The encoders omit fields that are zero, as the workers' contract requires.

func appendStart(data []byte, order *StartOrder) []byte {
	data = append(data, '{')
	data = appendText(data, `"task":`, order.Task)
	data = appendNumber(data, `"attempt":`, int64(order.Attempt))
	data = appendText(data, `"spec":`, order.Spec)
	data = appendNumber(data, `"dueAtMs":`, order.DueAtMs)
	data = appendUnsigned(data, `"fenceToken":`, order.FenceToken)
	data = appendText(data, `"checkpoint":`, order.Checkpoint)
	return append(data, '}')
}

func appendStop(data []byte, order *StopOrder) []byte {
	data = append(data, '{')
	data = appendText(data, `"task":`, order.Task)
	data = appendNumber(data, `"attempt":`, int64(order.Attempt))
	data = appendUnsigned(data, `"fenceToken":`, order.FenceToken)
	return append(data, '}')
}

func appendHold(data []byte, order *HoldOrder) []byte {
	data = append(data, '{')
	data = appendNumber(data, `"dueAtMs":`, order.DueAtMs)
	data = appendUnsigned(data, `"fenceToken":`, order.FenceToken)
	data = appendUnsigned(data, `"lastSeen":`, order.LastSeen)
	data = appendNumber(data, `"waitMs":`, min(order.WaitMs, MaxWaitMs))
	return append(data, '}')
}

func appendText(data []byte, name, value string) []byte {
	if value == "" {
		return data
	}
	return appendQuoted(appendName(data, name), value)
}

func appendNumber(data []byte, name string, value int64) []byte {
	if value == 0 {
		return data
	}
	return strconv.AppendInt(appendName(data, name), value, 10)
}

func appendUnsigned(data []byte, name string, value uint64) []byte {
	if value == 0 {
		return data
	}
	return strconv.AppendUint(appendName(data, name), value, 10)
}

func appendName(data []byte, name string) []byte {
	if data[len(data)-1] != '{' {
		data = append(data, ',')
	}
	return append(data, name...)
}

// appendQuoted appends value as a JSON string. It leaves bytes from 0x80 on as they are: the texts come from JSON and are passed on unchanged.
func appendQuoted(data []byte, value string) []byte {
	const hex = "0123456789abcdef"
	data = append(data, '"')
	plain := 0
	for i := 0; i < len(value); i++ {
		character := value[i]
		if isPlain(character) {
			continue
		}
		data = append(data, value[plain:i]...)
		plain = i + 1
		switch character {
		case '"', '\\':
			data = append(data, '\\', character)
		case '\n':
			data = append(data, '\\', 'n')
		default:
			data = append(data, '\\', 'u', '0', '0', hex[character>>4], hex[character&0xf])
		}
	}
	data = append(data, value[plain:]...)
	return append(data, '"')
}

func isPlain(character byte) bool {
	if character >= utf8.RuneSelf {
		return true
	}
	return character >= ' ' && character != '"' && character != '\\'
}
