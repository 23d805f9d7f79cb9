/**
 * Transfer of weight files, chunk by chunk, into a VM's weight store. Implementations are
 * plug-ins, see {@link org.wisteriapost.agent.transfer.TransferProvider}.
 */
package org.wisteriapost.agent.transfer;
