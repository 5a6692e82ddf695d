package dispatch

// NextPace lets tests outside the package compare the steps of pace.
var NextPace = nextPace
