package quota

import "crocusyoke/internal/controller/quota"

// shareRequest contains a node's reports to a coordinator.
type shareRequest struct {
	From string `cbor:"1,keyasint"`
	// To is the name of the intended recipient: another node may have taken over its
	// address.
	To      string         `cbor:"2,keyasint"`
	Reports []quota.Report `cbor:"3,keyasint"`
	// LendsRest is true if the request also lends the sender's share of every customer of
	// Partition that Reports does not contain. The sender holds no tokens of these customers and
	// wants none. Partition is one of Partitions (see
	// quota.PartitionOf and quota.SplitPartitionOf).
	LendsRest  bool `cbor:"4,keyasint,omitempty"`
	Partition  int  `cbor:"5,keyasint,omitempty"`
	Partitions int  `cbor:"6,keyasint,omitempty"`
	// Transfers asks the recipient, another coordinator of these customers, for tokens.
	Transfers []quota.TransferRequest `cbor:"7,keyasint,omitempty"`
	// IsSplit is true if Partitions counts those of quota.SplitPartitions. Which customers are in Partition then
	// depends on their limits, which are those of ConfigVersion.
	IsSplit       bool   `cbor:"8,keyasint,omitempty"`
	ConfigVersion uint64 `cbor:"9,keyasint,omitempty"`
}

// shareReply contains the tokens granted, one number for each report. A negative number means
// that the node must give up tokens.
type shareReply struct {
	Granted []float64 `cbor:"1,keyasint"`
	// ForgetsLapsed is true if the coordinator stops counting what lapses by itself (see
	// quota.Report.Lapses).
	ForgetsLapsed bool `cbor:"2,keyasint,omitempty"`
	// Transferred contains what was given for each request for a transfer.
	Transferred []quota.Transfer `cbor:"3,keyasint,omitempty"`
}
