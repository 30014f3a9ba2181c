package roster

import "fmt"

// EntryFault says why an entry of the store names no target to use.
type EntryFault string

// The faults of entries.
const (
	BadKey       EntryFault = "key"     // the key holds no ID
	TooLong      EntryFault = "length"  // far longer than any target's entry
	NotReadable  EntryFault = "bytes"   // the value is none of the format
	MissingField EntryFault = "missing" // a field is not there
	WrongType    EntryFault = "type"    // a field has another type
	OutOfRange   EntryFault = "range"   // a number that can't be meant
	UnknownState EntryFault = "state"
	BadAddress   EntryFault = "address"
)

// EntryFaults are all faults.
var EntryFaults = []EntryFault{
	BadKey, TooLong, NotReadable, MissingField, WrongType, OutOfRange, UnknownState, BadAddress,
}

// EntryError is the error of an entry that names no target to use. Other writers
// than the targets leave such entries.
type EntryError struct {
	Fault EntryFault
	// Field is the name of the field at fault, empty if it is the whole entry.
	Field string
}

// Error implements error.
func (e *EntryError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("unusable entry of a target: %s", e.Fault)
	}
	return fmt.Sprintf("unusable entry of a target: %s of field %q", e.Fault, e.Field)
}
