"""The proving ground: several processes of the program, with faults between them, and checks of what
happened."""
