package roster

import "fmt"

// EntryFault is the reason why an entry of the store doesn't describe a usable target.
type EntryFault string

// The faults of entries.
const (
	BadKey       EntryFault = "key"     // the key contains no ID
	TooLong      EntryFault = "length"  // far longer than any target's entry
	BadFormat    EntryFault = "bytes"   // the value doesn't have the expected format
	MissingField EntryFault = "missing" // a required field is missing
	WrongType    EntryFault = "type"    // a field has the wrong type
	OutOfRange   EntryFault = "range"   // a number is outside its plausible range
	UnknownState EntryFault = "state"
	BadAddress   EntryFault = "address"
)

// EntryFaults lists all faults.
var EntryFaults = []EntryFault{
	BadKey, TooLong, BadFormat, MissingField, WrongType, OutOfRange, UnknownState, BadAddress,
}

// EntryError is the error of an entry that doesn't describe a usable target. Such entries come
// from writers other than the targets.
type EntryError struct {
	Fault EntryFault
	// Field is the name of the invalid field, empty if the fault concerns the whole entry.
	Field string
}

// Error implements error.
func (e *EntryError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("unusable entry of a target: %s", e.Fault)
	}
	return fmt.Sprintf("unusable entry of a target: %s of field %q", e.Fault, e.Field)
}
