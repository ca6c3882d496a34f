// Package relay forwards the connections between the processes of a local cluster, so that links can be cut, delayed and made to lose
// answers without special privileges. Each process dials the relay and names its target, and the relay connects it. Data that a cut
// holds up is delivered when the cut heals, as with TCP, unless either end has closed the connection meanwhile.
package relay
