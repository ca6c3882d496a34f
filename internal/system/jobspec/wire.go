package jobspec

import (
	"github.com/mailru/easyjson/jlexer"
	"github.com/mailru/easyjson/jwriter"
)

//go:generate easyjson -no_std_marshalers wire.go

// wireSpec is the JSON form of a job. Numbers may have a fraction, and nothing is checked.
//
//easyjson:json
type wireSpec struct {
	Spec        string      `json:"spec,omitempty"`
	Stages      []wireStage `json:"stages,omitempty"`
	Repetitions float64     `json:"repetitions,omitempty"`
	FirstRunMs  float64     `json:"firstRunMs,omitempty"`
	IntervalMs  float64     `json:"intervalMs,omitempty"`
	// LongRunning applies to all stages. A stage can also set its own.
	LongRunning bool `json:"longRunning,omitempty"`
}

//easyjson:json
type wireStage struct {
	Count        float64    `json:"count,omitempty"`
	CPU          float64    `json:"cpu,omitempty"`
	MemoryMb     float64    `json:"memMb,omitempty"`
	GPUs         float64    `json:"gpus,omitempty"`
	EstimatedMs  float64    `json:"estimatedMs,omitempty"`
	DependsOn    []float64  `json:"dependsOn,omitempty"`
	Requirements wireLabels `json:"requirements,omitempty"`
	Colocation   string     `json:"colocation,omitempty"`
	AntiAffinity float64    `json:"antiAffinity,omitempty"`
	Checkpoints  bool       `json:"checkpoints,omitempty"`
	Gang         bool       `json:"gang,omitempty"`
	SameRack     bool       `json:"sameRack,omitempty"`
	Speculative  bool       `json:"speculative,omitempty"`
	LongRunning  bool       `json:"longRunning,omitempty"`
}

// wireLabels is one label or a list of labels. Empty labels are dropped, since they require nothing.
type wireLabels []string

// UnmarshalEasyJSON decodes a string or a list of strings.
func (l *wireLabels) UnmarshalEasyJSON(in *jlexer.Lexer) {
	*l = nil
	if !in.IsDelim('[') {
		l.add(in.String())
		return
	}
	in.Delim('[')
	for !in.IsDelim(']') {
		l.add(in.String())
		in.WantComma()
	}
	in.Delim(']')
}

// MarshalEasyJSON encodes one label as a string and several as a list.
func (l wireLabels) MarshalEasyJSON(out *jwriter.Writer) {
	if len(l) == 1 {
		out.String(l[0])
		return
	}
	out.RawByte('[')
	for index, label := range l {
		if index > 0 {
			out.RawByte(',')
		}
		out.String(label)
	}
	out.RawByte(']')
}

// IsDefined reports whether there are labels to encode.
func (l wireLabels) IsDefined() bool { return len(l) > 0 }

func (l *wireLabels) add(label string) {
	if label != "" {
		*l = append(*l, label)
	}
}
