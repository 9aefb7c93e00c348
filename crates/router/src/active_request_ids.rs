//! The ids of the RPCs that are under way here. A second RPC under the id of one of them would be a second copy
//! to the nodes, and could be given the first one's answer.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

/// The ids that are in use.
#[derive(Debug, Default)]
pub struct ActiveRequestIds(RefCell<BTreeSet<String>>);

/// An id in use, for as long as its RPC or one of its attempts is under way; released when it is dropped.
#[derive(Debug)]
pub struct ActiveRequestId {
    ids: Rc<ActiveRequestIds>,
    id: String,
}

impl ActiveRequestIds {
    /// Takes an id into use. None while another RPC uses it.
    pub fn register(self: &Rc<Self>, id: String) -> Option<ActiveRequestId> {
        let is_new = self.0.borrow_mut().insert(id.clone());
        is_new.then(|| ActiveRequestId { ids: Rc::clone(self), id })
    }
}

impl Drop for ActiveRequestId {
    fn drop(&mut self) {
        self.ids.0.borrow_mut().remove(&self.id);
    }
}
