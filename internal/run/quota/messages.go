package quota

import "crocusyoke/internal/controller/quota"

// request carries a node's reports to a coordinator.
type request struct {
	From string `cbor:"1,keyasint"`
	// To is the node that is meant: another one may have taken its address over.
	To      string         `cbor:"2,keyasint"`
	Reports []quota.Report `cbor:"3,keyasint"`
}

// reply holds the tokens granted, one number for each report.
type reply struct {
	Granted []float64 `cbor:"1,keyasint"`
}
